# Completions of chicoryloom-gateway for bash.

_chicoryloom_gateway() {
    local word=${COMP_WORDS[COMP_CWORD]}
    local previous=${COMP_WORDS[COMP_CWORD-1]}
    case $previous in
    --settings)
        COMPREPLY=($(compgen -f -- "$word"))
        return
        ;;
    esac
    local words="--help --version --settings --check"
    COMPREPLY=($(compgen -W "$words" -- "$word"))
}

complete -F _chicoryloom_gateway chicoryloom-gateway
