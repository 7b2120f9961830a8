# toucan_package(NAME [DEPS package...] [LIBS library...] [TEST_DEPS package...])
#
# Builds every .cc file of the current flat folder into the library NAME and
# every *_test.cc file into one test program NAME_test. Headers are included
# as "NAME/header.h".
function(toucan_package name)
  cmake_parse_arguments(ARG "" "" "DEPS;LIBS;TEST_DEPS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cc)
  set(test_sources ${sources})
  list(FILTER test_sources INCLUDE REGEX "_test\\.cc$")
  list(FILTER sources EXCLUDE REGEX "_test\\.cc$")
  set(deps ${ARG_DEPS})
  list(TRANSFORM deps PREPEND toucan_)
  set(test_deps ${ARG_TEST_DEPS})
  list(TRANSFORM test_deps PREPEND toucan_)
  if(sources)
    add_library(toucan_${name} STATIC ${sources})
    target_include_directories(toucan_${name} PUBLIC ${CMAKE_SOURCE_DIR}/packages)
    target_link_libraries(toucan_${name} PUBLIC ${deps} ${ARG_LIBS})
  else()
    add_library(toucan_${name} INTERFACE)
    target_include_directories(toucan_${name} INTERFACE ${CMAKE_SOURCE_DIR}/packages)
    target_link_libraries(toucan_${name} INTERFACE ${deps} ${ARG_LIBS})
  endif()
  if(test_sources)
    add_executable(${name}_test ${test_sources})
    target_link_libraries(${name}_test PRIVATE toucan_${name} ${test_deps} toucan_catch_main)
    add_test(NAME ${name}_test COMMAND ${name}_test)
    set_tests_properties(${name}_test PROPERTIES TIMEOUT 300)
  endif()
endfunction()

# Catch2's main is compiled once for all test programs.
add_library(toucan_catch_main STATIC ${CMAKE_SOURCE_DIR}/cmake/catch_main.cc)
