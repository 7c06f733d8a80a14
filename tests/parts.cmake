# Parts of gangs at an agent: tables of cases and a property.
pf_test(parts-test parts-test.cc PACKAGES agent)
pf_test(parts-property parts-property.cc PACKAGES agent)
set_tests_properties(parts-property PROPERTIES ENVIRONMENT
                     "RC_PARAMS=seed=20261203 max_success=8000 max_size=200")
