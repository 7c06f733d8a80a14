pf_package(base LIBS sodium yaml xxhash bsd)
pf_package(policy USES base LIBS m)
