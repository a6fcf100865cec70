_snipeway() {
    local cur="${COMP_WORDS[COMP_CWORD]}"
    local prev="${COMP_WORDS[COMP_CWORD-1]}"
    case "$prev" in
        --config) COMPREPLY=($(compgen -f -- "$cur")); return ;;
        contract) COMPREPLY=($(compgen -W "check apply amend show list history settle" -- "$cur")); return ;;
        settings) COMPREPLY=($(compgen -W "check" -- "$cur")); return ;;
    esac
    COMPREPLY=($(compgen -W "contract audit status explain drain settings token generate --config --help --version --who --dry-run --wait --rev --last --kind" -- "$cur"))
}
complete -F _snipeway snipeway
