# What an agent holds for gangs: tables of cases, a property, processes.
pf_test(parts-test parts-test.cc PACKAGES agent)
