complete -c snipeway-control -l config -d 'Settings; see etc/entry.ini'
complete -c snipeway-control -l help -d 'Show this help and exit'
complete -c snipeway-control -l version -d 'Show the version and exit'
