pf_test(conf-test conf-test.cc PACKAGES base)
pf_test(settings-test settings-test.cc PACKAGES config)
pf_test(config-test config-test.cc PACKAGES config)
pf_test(config-property-test config-property-test.cc PACKAGES config)
set_tests_properties(config-property-test PROPERTIES
                     ENVIRONMENT "RC_PARAMS=seed=20261202 max_success=500")
pf_test(config-examples-test config-examples-test.cc PACKAGES config)
target_compile_definitions(config-examples-test PRIVATE
                           EXAMPLES="${CMAKE_SOURCE_DIR}/examples")
pf_test(console-test console-test.cc PACKAGES console)
add_test(NAME console-embedded
         COMMAND ${CMAKE_SOURCE_DIR}/scripts/embed-console --check)
# Tests the script of the console page, if Node.js is installed.
find_program(NODE NAMES node nodejs)
if(NODE)
  add_test(NAME console-script-test
           COMMAND ${NODE} ${CMAKE_CURRENT_SOURCE_DIR}/console-script-test.js
                   ${CMAKE_SOURCE_DIR}/packages/console/page/document.js)
else()
  message(STATUS "console-script-test is not run: there is no node")
endif()
