include(${CMAKE_CURRENT_SOURCE_DIR}/platform.cmake)
pf_process_test(epochs-process-test epochs-process-test.cc PACKAGES base
                NEEDS parsleyfall fake-platform)
pf_test(epochs-test epochs-test.cc PACKAGES entry)
set_tests_properties(epochs-test PROPERTIES
                     ENVIRONMENT "RC_PARAMS=seed=20261202 max_success=300")
