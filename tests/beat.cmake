pf_process_test(beat-process-test beat-process-test.cc PACKAGES base
                NEEDS parsleyfall parsleyfall-agent fake-platform fake-upstream)
