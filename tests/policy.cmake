pf_test(policy-test policy-test.cc PACKAGES policy)
pf_test(policy-route-test policy-route-test.cc PACKAGES policy)
pf_test(policy-property-test policy-property-test.cc PACKAGES policy)
set_tests_properties(policy-property-test PROPERTIES
                     ENVIRONMENT "RC_PARAMS=seed=20261202 max_success=200")
pf_test(policy-load-test policy-load-test.cc PACKAGES policy)
target_link_libraries(policy-load-test PRIVATE load-sim)
