# Everything that `ctest -L unit` runs.
add_custom_target(dogwoodlatch_unit_tests)

# Helpers that declare the project's libraries, programs and tests.

# Adds a static library from the sources of the current folder that are not tests.
function(dogwoodlatch_add_library name)
  file(GLOB sources CONFIGURE_DEPENDS "*.cc")
  list(FILTER sources EXCLUDE REGEX "_test\\.cc$")
  add_library(${name} STATIC ${sources})
  target_include_directories(${name} PUBLIC "${CMAKE_SOURCE_DIR}/src/include")
  target_link_libraries(${name} PUBLIC ${ARGN})
endfunction()

# Adds a program from the sources of the current folder.
function(dogwoodlatch_add_program name)
  file(GLOB sources CONFIGURE_DEPENDS "*.cc")
  list(FILTER sources EXCLUDE REGEX "_test\\.cc$")
  add_executable(${name} ${sources})
  target_link_libraries(${name} PRIVATE ${ARGN})
endfunction()

# Adds one test program a `<unit>_test.cc` of the current folder.
function(dogwoodlatch_add_tests)
  if(DOGWOODLATCH_DAEMONS_ONLY)
    return()
  endif()
  file(GLOB sources CONFIGURE_DEPENDS "*_test.cc")
  foreach(source ${sources})
    get_filename_component(name ${source} NAME_WE)
    add_executable(${name} ${source})
    target_link_libraries(${name} PRIVATE dogwoodlatch_test_main ${RAPIDCHECK_LIBRARY} ${ARGN})
    add_test(NAME ${name} COMMAND ${name})
    add_dependencies(dogwoodlatch_unit_tests ${name})
    # A fixed seed gives the same verdict on every run.
    set_tests_properties(${name} PROPERTIES LABELS unit TIMEOUT 600
      ENVIRONMENT "RC_PARAMS=seed=20261203;TSAN_OPTIONS=halt_on_error=1")
  endforeach()
endfunction()
