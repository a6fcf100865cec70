_snipeway_platform() {
    local cur="${COMP_WORDS[COMP_CWORD]}"
    local prev="${COMP_WORDS[COMP_CWORD-1]}"
    case "$prev" in
        --config) COMPREPLY=($(compgen -f -- "$cur")); return ;;
    esac
    COMPREPLY=($(compgen -W "--config --memory-mb --descriptors --check --help --version" -- "$cur"))
}
complete -F _snipeway_platform snipeway-platform
