pf_package(base LIBS sodium yaml xxhash bsd)
pf_package(config USES base LIBS jansson yaml)
pf_package(console USES base config)
