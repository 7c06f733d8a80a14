pf_test(members-test members-test.cc PACKAGES members)
set_tests_properties(members-test PROPERTIES
                     ENVIRONMENT "RC_PARAMS=seed=20261203 max_success=100")
