pf_test(sched-test sched-test.cc PACKAGES entry)
set_tests_properties(sched-test PROPERTIES ENVIRONMENT "RC_PARAMS=seed=11")
pf_process_test(gang-process-test gang-process-test.cc gang-agents.cc SHARDS 4
                PACKAGES entry NEEDS parsleyfall parsleyfall-agent
                fake-platform fake-upstream)
