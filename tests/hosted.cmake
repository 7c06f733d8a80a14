# Tests of the product against fakes of the hosted platform.
include(platform.cmake)
pf_fake(fake-hosted-store fakes/fake.c fakes/hosted-store.c
        PACKAGES http kernel base)
pf_fake(fake-hosted-worker fakes/fake.c fakes/hosted-worker.c
        PACKAGES http kernel base)
pf_fake(fake-hosted-adviser fakes/fake.c fakes/hosted-adviser.c
        PACKAGES http kernel base)
pf_process_test(hosted-process-test hosted-process-test.cc hosted-stack.cc
                PACKAGES wire NEEDS parsleyfall parsleyfall-agent
                fake-hosted-store fake-hosted-worker fake-hosted-adviser SHARDS 4)
target_link_libraries(hosted-process-test PRIVATE sodium)
pf_process_test(hosted-foreign-test hosted-foreign-test.cc hosted-stack.cc
                PACKAGES wire NEEDS parsleyfall parsleyfall-agent
                fake-hosted-store fake-hosted-worker fake-hosted-adviser SHARDS 2)
target_link_libraries(hosted-foreign-test PRIVATE sodium)
pf_process_test(hosted-evacuate-test hosted-evacuate-test.cc hosted-stack.cc
                PACKAGES wire NEEDS parsleyfall parsleyfall-agent
                fake-hosted-store fake-hosted-worker fake-hosted-adviser
                fake-relay)
target_link_libraries(hosted-evacuate-test PRIVATE sodium)
pf_process_test(hosted-crash-test hosted-crash-test.cc hosted-stack.cc
                PACKAGES wire NEEDS parsleyfall parsleyfall-agent
                fake-hosted-store fake-hosted-worker fake-hosted-adviser)
target_link_libraries(hosted-crash-test PRIVATE sodium)
pf_process_test(hosted-overtake-test hosted-overtake-test.cc hosted-stack.cc
                PACKAGES wire NEEDS parsleyfall parsleyfall-agent
                fake-hosted-store fake-hosted-worker fake-hosted-adviser SHARDS 2)
target_link_libraries(hosted-overtake-test PRIVATE sodium)
pf_process_test(hosted-admission-test hosted-admission-test.cc hosted-stack.cc
                PACKAGES wire NEEDS parsleyfall parsleyfall-agent
                fake-hosted-store fake-hosted-worker fake-hosted-adviser)
target_link_libraries(hosted-admission-test PRIVATE sodium)
pf_process_test(hosted-relay-test hosted-relay-test.cc hosted-stack.cc
                PACKAGES wire NEEDS parsleyfall parsleyfall-agent
                fake-hosted-store fake-hosted-worker fake-hosted-adviser)
target_link_libraries(hosted-relay-test PRIVATE sodium)
pf_process_test(hosted-large-test hosted-large-test.cc hosted-stack.cc
                PACKAGES wire NEEDS parsleyfall fake-hosted-store
                fake-hosted-adviser fake-relay)
target_link_libraries(hosted-large-test PRIVATE sodium)
pf_test(queue-documents-test queue-documents-test.cc PACKAGES queue)
set_tests_properties(queue-documents-test PROPERTIES
                     ENVIRONMENT "RC_PARAMS=seed=20261203 max_success=300")
pf_test(queue-emptied-test queue-emptied-test.cc PACKAGES queue)
set_tests_properties(queue-emptied-test PROPERTIES
                     ENVIRONMENT "RC_PARAMS=seed=20261203 max_success=500")
pf_test(hosted-test hosted-test.cc PACKAGES hosted-entry)
pf_test(hosted-agent-test hosted-agent-test.cc PACKAGES hosted-agent)
pf_test(queue-cache-test queue-cache-test.cc PACKAGES queue)
set_tests_properties(queue-cache-test PROPERTIES
                     ENVIRONMENT "RC_PARAMS=seed=20261203 max_success=500")
pf_test(queue-admission-test queue-admission-test.cc jobs-world.cc
        PACKAGES queue)
pf_test(queue-leader-test queue-leader-test.cc PACKAGES queue)
pf_test(queue-relay-test queue-relay-test.cc PACKAGES queue)
pf_process_test(hosted-members-test hosted-members-test.cc hosted-stack.cc
                PACKAGES wire NEEDS parsleyfall parsleyfall-agent
                fake-hosted-store fake-hosted-worker fake-hosted-adviser)
target_link_libraries(hosted-members-test PRIVATE sodium)
pf_test(runs-watch-test runs-watch-test.cc PACKAGES runs)
