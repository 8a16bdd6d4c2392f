# Completions of chicoryloom-load for bash.

_chicoryloom_load() {
    local word=${COMP_WORDS[COMP_CWORD]}
    local previous=${COMP_WORDS[COMP_CWORD-1]}
    case $previous in
    check|run|compare|--out)
        COMPREPLY=($(compgen -f -- "$word"))
        return
        ;;
    --by)
        COMPREPLY=($(compgen -W "division detection" -- "$word"))
        return
        ;;
    esac
    local words="--help --version"
    local commands="check run compare hop slopes"
    local used
    for used in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
        case $used in
        check)
            words="--help"
            commands=
            ;;
        run)
            words="--help --out --seed"
            commands=
            ;;
        compare)
            words="--help --by --out --seed"
            commands=
            ;;
        hop)
            words="--help --seconds"
            commands=
            ;;
        slopes)
            words="--help hosts keys documents"
            commands=
            ;;
        esac
    done
    COMPREPLY=($(compgen -W "$words $commands" -- "$word"))
}

complete -F _chicoryloom_load chicoryloom-load
