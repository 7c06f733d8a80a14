# The cells package: tables of cases, and properties with fixed seeds.
pf_test(cells-test cells-test.cc PACKAGES cells)
pf_test(place-test place-test.cc PACKAGES cells)
pf_test(cells-property cells-property.cc PACKAGES cells)
set_tests_properties(cells-property PROPERTIES ENVIRONMENT
                     "RC_PARAMS=seed=20261202 max_success=500 max_size=60")
