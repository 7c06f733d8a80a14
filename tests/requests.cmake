find_package(rapidcheck REQUIRED)
pf_test(why-test why-test.cc PACKAGES entry policy kernel base)
set_tests_properties(why-test PROPERTIES ENVIRONMENT "RC_PARAMS=seed=731")
