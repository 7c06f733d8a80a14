pf_package(base LIBS sodium yaml xxhash bsd)
pf_package(cells USES base)
