pf_package(base LIBS sodium yaml xxhash bsd)
