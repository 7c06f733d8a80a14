# Tests of the scheduler: tables of cases and properties, on simulated workers.
pf_test(jobs-test jobs-test.cc jobs-world.cc PACKAGES jobs)
pf_test(jobs-spec-test jobs-spec-test.cc jobs-world.cc PACKAGES jobs)
pf_test(jobs-property jobs-property.cc jobs-world.cc PACKAGES jobs)
set_tests_properties(jobs-property PROPERTIES ENVIRONMENT
                     "RC_PARAMS=seed=20261202 max_success=1000 max_size=60")
pf_test(jobs-foreign-test jobs-foreign-test.cc jobs-world.cc PACKAGES jobs)
set_tests_properties(jobs-foreign-test PROPERTIES ENVIRONMENT
                     "RC_PARAMS=seed=20261203 max_success=400 max_size=60")
pf_test(jobs-domain-test jobs-domain-test.cc jobs-world.cc PACKAGES jobs)
pf_test(jobs-health-test jobs-health-test.cc jobs-world.cc PACKAGES jobs)
pf_test(jobs-size-test jobs-size-test.cc jobs-world.cc PACKAGES jobs)
pf_test(jobs-crash-test jobs-crash-test.cc jobs-world.cc PACKAGES jobs)
set_tests_properties(jobs-crash-test PROPERTIES ENVIRONMENT
                     "RC_PARAMS=seed=20261203 max_success=200 max_size=60")
pf_test(jobs-speed-test jobs-speed-test.cc jobs-world.cc PACKAGES jobs)
pf_test(jobs-preempt-test jobs-preempt-test.cc jobs-world.cc PACKAGES jobs)
set_tests_properties(jobs-preempt-test PROPERTIES ENVIRONMENT
                     "RC_PARAMS=seed=20261203 max_success=100")
set_tests_properties(jobs-speed-test PROPERTIES ENVIRONMENT
                     "RC_PARAMS=seed=20261203 max_success=60")
pf_test(jobs-learned-test jobs-learned-test.cc jobs-world.cc PACKAGES jobs)
pf_test(jobs-room-test jobs-room-test.cc jobs-world.cc PACKAGES jobs)
pf_test(jobs-load-test jobs-load-test.cc jobs-world.cc PACKAGES jobs)
pf_test(jobs-drain-test jobs-drain-test.cc jobs-world.cc PACKAGES jobs)
pf_test(jobs-fair-test jobs-fair-test.cc jobs-world.cc PACKAGES jobs)
pf_test(jobs-failed-test jobs-failed-test.cc jobs-world.cc PACKAGES jobs)
set_tests_properties(jobs-failed-test PROPERTIES ENVIRONMENT
                     "RC_PARAMS=seed=20261203 max_success=100")
pf_test(jobs-partial-test jobs-partial-test.cc jobs-world.cc PACKAGES jobs)
pf_test(jobs-timeline-test jobs-timeline-test.cc jobs-world.cc PACKAGES jobs)
pf_test(jobs-restart-test jobs-restart-test.cc jobs-world.cc PACKAGES jobs)
pf_test(jobs-row-test jobs-row-test.cc jobs-world.cc PACKAGES jobs)
