pf_package(base LIBS sodium yaml xxhash bsd)
pf_package(kernel USES base LIBS ev jansson)
pf_package(http USES base LIBS ev curl microhttpd)
pf_package(wire USES base LIBS ev msgpackc zmq)
