pf_test(conf-test conf-test.cc PACKAGES base)
pf_test(settings-test settings-test.cc PACKAGES config)
