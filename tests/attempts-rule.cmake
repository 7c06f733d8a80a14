pf_test(attempts-rule-test attempts-rule-test.cc PACKAGES agent)
