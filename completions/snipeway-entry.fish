complete -c snipeway-entry -l config -d 'Settings; see etc/entry.ini'
complete -c snipeway-entry -l check -d 'Check the settings and exit'
complete -c snipeway-entry -l help -d 'Show this help and exit'
complete -c snipeway-entry -l version -d 'Show the version and exit'
