complete -c snipeway-standin -l config -d 'Settings; see etc/standin.ini'
complete -c snipeway-standin -l help -d 'Show this help and exit'
complete -c snipeway-standin -l version -d 'Show the version and exit'
