# Completions of chicoryctl for bash.

_chicoryctl() {
    local word=${COMP_WORDS[COMP_CWORD]}
    local previous=${COMP_WORDS[COMP_CWORD-1]}
    case $previous in
    --key-file|--output)
        COMPREPLY=($(compgen -f -- "$word"))
        return
        ;;
    esac
    local words="--help --version --admin --token --json"
    local commands="check get put edit delete grant withdraw keys status histograms explain"
    local used
    for used in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
        case $used in
        check)
            words="--help"
            commands=
            ;;
        get)
            words="--help --output"
            commands=
            ;;
        put)
            words="--help --expect"
            commands=
            ;;
        edit)
            words="--help"
            commands=
            ;;
        delete)
            words="--help --expect"
            commands=
            ;;
        grant)
            words="--help --key-file"
            commands=
            ;;
        withdraw)
            words="--help"
            commands=
            ;;
        keys)
            words="--help --workspace"
            commands=
            ;;
        status)
            words="--help"
            commands=
            ;;
        histograms)
            words="--help --workspace"
            commands=
            ;;
        explain)
            words="--help --service --workspace --code"
            commands=
            ;;
        esac
    done
    words="$words $commands"
    case $previous in
    check|put)
        COMPREPLY=($(compgen -f -- "$word"))
        return
        ;;
    esac
    COMPREPLY=($(compgen -W "$words" -- "$word"))
}

complete -F _chicoryctl chicoryctl
