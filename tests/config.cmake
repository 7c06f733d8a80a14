pf_test(conf-test conf-test.cc PACKAGES base)
