pf_process_test(heartbeat-process-test heartbeat-process-test.cc PACKAGES base
                NEEDS parsleyfall parsleyfall-agent fake-platform fake-upstream)
