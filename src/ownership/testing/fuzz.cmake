set(testing ${CMAKE_SOURCE_DIR}/src/ownership/testing)
add_library(ownership_model OBJECT ${testing}/model.cc ${testing}/world.cc
  ${testing}/world_instances.cc ${testing}/oracle.cc)
target_link_libraries(ownership_model PUBLIC warnings ownership)

add_library(ownership_fuzz_main OBJECT ${testing}/ownership_fuzz_main.cc)
target_link_libraries(ownership_fuzz_main PUBLIC warnings ownership)

add_executable(ownership_fuzz)
target_link_libraries(ownership_fuzz PRIVATE ownership_fuzz_main ownership_model ownership rapidcheck)

target_link_libraries(ownership_test PRIVATE ownership_model)
