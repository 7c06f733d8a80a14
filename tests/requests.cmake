find_package(rapidcheck REQUIRED)
pf_test(why-test why-test.cc PACKAGES entry policy kernel base)
set_tests_properties(why-test PROPERTIES ENVIRONMENT "RC_PARAMS=seed=731")
pf_process_test(
  request-process-test request-process-test.cc PACKAGES base
  NEEDS parsleyfall parsleyfall-agent fake-platform fake-upstream fake-relay)
pf_process_test(
  request-keyed-test request-keyed-test.cc PACKAGES base
  NEEDS parsleyfall parsleyfall-agent fake-platform fake-upstream fake-relay)
pf_test(attempts-test attempts-test.cc PACKAGES agent http wire kernel base)
set_tests_properties(attempts-test PROPERTIES ENVIRONMENT "RC_PARAMS=seed=942")
pf_process_test(
  why-peers-test why-peers-test.cc
  PACKAGES entry config console policy cells kernel http wire platform base
  NEEDS parsleyfall fake-platform)
