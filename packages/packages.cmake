pf_package(base LIBS sodium yaml xxhash bsd jansson)
pf_package(config USES base LIBS jansson yaml)
pf_package(console USES base config)
pf_package(policy USES base LIBS m)
pf_package(members USES base)
pf_package(cells USES base)
pf_package(kernel USES base LIBS ev jansson)
pf_package(http USES base LIBS ev curl microhttpd)
pf_package(wire USES base LIBS ev msgpackc zmq)
pf_package(cli USES base config http LIBS argtable2 ev jansson)
pf_package(platform USES base kernel http LIBS jansson sodium)
pf_package(agent USES base config kernel http wire platform cells)
pf_package(entry USES base config console policy cells kernel http wire platform)
pf_package(jobs USES base LIBS jansson m)
pf_package(queue USES base config entry jobs kernel members platform wire
           LIBS zstd)
pf_package(runs USES base config http jobs kernel members wire)

# The adapter to the users' platform: a part for each program.
pf_package(hosted DIR platform USES base jobs)
pf_package(hosted-entry DIR platform/entry USES hosted http platform queue)
pf_package(hosted-agent DIR platform/agent USES hosted http runs)

add_executable(parsleyfall-agent packages/agent/main.c)
pf_link(parsleyfall-agent agent hosted-agent cli)

add_executable(parsleyfall packages/entry/main.c)
pf_link(parsleyfall entry hosted-entry cli)
