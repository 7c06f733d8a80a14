pf_test(conf-test conf-test.cc PACKAGES base)
pf_test(settings-test settings-test.cc PACKAGES config)
pf_test(config-test config-test.cc PACKAGES config)
pf_test(config-property-test config-property-test.cc PACKAGES config)
set_tests_properties(config-property-test PROPERTIES
                     ENVIRONMENT "RC_PARAMS=seed=20261202 max_success=500")
pf_test(config-examples-test config-examples-test.cc PACKAGES config)
target_compile_definitions(config-examples-test PRIVATE
                           EXAMPLES="${CMAKE_SOURCE_DIR}/examples")
