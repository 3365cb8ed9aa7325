set(testing ${CMAKE_SOURCE_DIR}/src/ownership/testing)

# add_model(PACKAGE NAME SOURCES ...) adds the object libraries NAME_model, from the sources, and NAME_fuzz_main,
# from NAME_fuzz_main.cc, and the fuzzer build/bin/NAME_fuzz, which links both. They stand in the folder
# testing/ of the package.
function(add_model package name)
  set(folder ${CMAKE_SOURCE_DIR}/src/${package}/testing)
  list(TRANSFORM ARGN PREPEND ${folder}/ OUTPUT_VARIABLE sources)
  add_library(${name}_model OBJECT ${sources})
  add_library(${name}_fuzz_main OBJECT ${folder}/${name}_fuzz_main.cc)
  add_executable(${name}_fuzz)
  target_link_libraries(${name}_model PUBLIC warnings ${package})
  target_link_libraries(${name}_fuzz_main PUBLIC warnings ${package})
  target_link_libraries(${name}_fuzz PRIVATE ${name}_fuzz_main ${name}_model ${package} rapidcheck)
endfunction()

add_model(ownership ownership model.cc simulation.cc simulation_instances.cc oracle.cc scenarios.cc)
# The model of the range assigners.
add_model(ownership range range_simulation.cc range_oracle.cc range_scenarios.cc)
target_link_libraries(ownership_test PRIVATE ownership_model range_model)
add_test(NAME range_fuzz COMMAND range_fuzz)
set_tests_properties(range_fuzz PROPERTIES TIMEOUT 300
  ENVIRONMENT "RC_PARAMS=seed=20261204 max_success=1500")
# Instances that read the store.
add_model(ownership feed feed_simulation.cc feed_simulation_news.cc)
target_link_libraries(ownership_test PRIVATE feed_model)

# Instances that share the limits of upstreams.
add_model(routing limit limit_simulation.cc)
target_link_libraries(routing_test PRIVATE limit_model)
add_test(NAME limit_fuzz COMMAND limit_fuzz)
set_tests_properties(limit_fuzz PROPERTIES TIMEOUT 300)

# Upstreams that send responses twice.
add_model(routing carry carry_simulation.cc)
target_link_libraries(routing_test PRIVATE carry_model)
add_test(NAME carry_fuzz COMMAND carry_fuzz)
set_tests_properties(carry_fuzz PROPERTIES TIMEOUT 300)

# Mutants: each is the fuzzer with one guard of the protocol removed. The test of a mutant passes if the
# oracle reports a violation. scripts/mutants prints after how many steps it does. A mutant whose file names
# a test instead, as its guard takes a precise order of events, passes if that test fails.
file(GLOB mutants CONFIGURE_DEPENDS ${testing}/mutants/*.txt)
foreach(mutant ${mutants})
  get_filename_component(name ${mutant} NAME_WE)
  file(STRINGS ${mutant} source_line REGEX "^file " LIMIT_COUNT 1)
  string(REPLACE "file " "" source_name "${source_line}")
  # A source of another package is named with its folder.
  if(source_name MATCHES "/")
    set(source ${CMAKE_SOURCE_DIR}/src/${source_name})
    get_filename_component(source_name ${source_name} NAME)
  else()
    set(source ${CMAKE_SOURCE_DIR}/src/ownership/${source_name})
  endif()
  set(mutated ${CMAKE_BINARY_DIR}/mutants/${name}/${source_name})
  add_custom_command(OUTPUT ${mutated}
    COMMAND ${CMAKE_COMMAND} -DMUTANT=${mutant} -DSOURCE=${source} -DOUTPUT=${mutated}
      -P ${testing}/mutate.cmake
    DEPENDS ${mutant} ${source} ${testing}/mutate.cmake)
  add_executable(ownership_mutant_${name} ${mutated})
  # Without compile commands, so that lint checks a test once and not again for each mutant.
  set_target_properties(ownership_mutant_${name} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/mutants EXPORT_COMPILE_COMMANDS OFF)
  # Removing a guard may leave names unused, which would be a warning.
  target_compile_options(ownership_mutant_${name} PRIVATE -w)
  file(STRINGS ${mutant} test_line REGEX "^test " LIMIT_COUNT 1)
  if(test_line)
    string(REPLACE "test " "" test_source "${test_line}")
    # A test of another package is named with its folder.
    if(test_source MATCHES "/")
      set(test_source ${CMAKE_SOURCE_DIR}/src/${test_source})
    else()
      set(test_source ${testing}/${test_source})
    endif()
    target_sources(ownership_mutant_${name}
      PRIVATE ${test_source} ${CMAKE_SOURCE_DIR}/src/base/testing/test_main.cc)
    target_compile_definitions(ownership_mutant_${name} PRIVATE BOOST_TEST_DYN_LINK)
    if(source MATCHES "/src/entry/")
      target_link_libraries(ownership_mutant_${name} PRIVATE entry standin)
    endif()
    target_link_libraries(ownership_mutant_${name}
      PRIVATE range_model feed_model upstream routing ownership Boost::unit_test_framework rapidcheck)
    add_test(NAME ownership_mutant_${name} COMMAND ownership_mutant_${name} --color_output=no)
    set_tests_properties(ownership_mutant_${name} PROPERTIES
      TIMEOUT 300 PASS_REGULAR_EXPRESSION "failures? (is|are) detected")
    continue()
  endif()
  set(arguments)
  if(source_name MATCHES "^(store_feed|upstream_list|key_versions)")
    set(model feed_fuzz_main feed_model)
  elseif(source_name MATCHES "^news")
    set(model feed_fuzz_main feed_model)
    set(arguments --news)
  elseif(source_name MATCHES "^(range_|upstream_presence)")
    set(model range_fuzz_main range_model)
  elseif(source_name MATCHES "^upstream_permits")
    set(model limit_fuzz_main limit_model routing)
  elseif(source_name MATCHES "^(carried_requests|response_status)")
    set(model carry_fuzz_main carry_model routing)
  else()
    set(model ownership_fuzz_main ownership_model)
  endif()
  target_link_libraries(ownership_mutant_${name} PRIVATE ${model} ownership rapidcheck)
  add_test(NAME ownership_mutant_${name} COMMAND ownership_mutant_${name} ${arguments} --expect-violation)
  set_tests_properties(ownership_mutant_${name} PROPERTIES TIMEOUT 300
    ENVIRONMENT "RC_PARAMS=seed=20261204 max_success=5000")
endforeach()
