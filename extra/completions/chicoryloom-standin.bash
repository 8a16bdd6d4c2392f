# Completions of chicoryloom-standin for bash.

_chicoryloom_standin() {
    local word=${COMP_WORDS[COMP_CWORD]}
    local previous=${COMP_WORDS[COMP_CWORD-1]}
    local words="--help --version"
    local commands="platform target link"
    local used
    for used in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
        case $used in
        platform)
            words="--help --listen"
            commands=
            ;;
        target)
            words="--help --listen --control --switches"
            commands=
            ;;
        link)
            words="--help --control"
            commands=
            ;;
        esac
    done
    words="$words $commands"
    COMPREPLY=($(compgen -W "$words" -- "$word"))
}

complete -F _chicoryloom_standin chicoryloom-standin
