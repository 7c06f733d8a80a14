# The agent as a process. The file's name sorts after platform.cmake, which
# has the functions.
pf_process_test(agent-process-test agent-process-test.cc PACKAGES agent
                NEEDS parsleyfall-agent fake-upstream)
