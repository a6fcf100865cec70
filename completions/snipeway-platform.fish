complete -c snipeway-platform -l config -d 'Settings; without it, the file that SNIPEWAY_NODE_FILE names'
complete -c snipeway-platform -l check -d 'Check the settings and exit'
complete -c snipeway-platform -l help -d 'Show this help and exit'
complete -c snipeway-platform -l version -d 'Show the version and exit'
