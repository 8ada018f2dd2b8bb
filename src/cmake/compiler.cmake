# Compiler settings shared by all targets.
set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_RUNTIME_OUTPUT_DIRECTORY "${CMAKE_BINARY_DIR}/bin")
set(DOGWOODLATCH_SANITIZE "" CACHE STRING "Comma-separated list of sanitizers to enable")

# GCC 12 reports false -Wrestrict overlaps inside std::string concatenation.
add_compile_options(-Wall -Wextra -Werror -Wno-restrict)
if(DOGWOODLATCH_SANITIZE)
  # Optimised sanitizer builds report false -Wmaybe-uninitialized warnings.
  add_compile_options(-fsanitize=${DOGWOODLATCH_SANITIZE}
                      -O1 -g1 -fno-omit-frame-pointer -Wno-maybe-uninitialized)
  if(DOGWOODLATCH_SANITIZE MATCHES thread)
    add_compile_options(-Wno-tsan)
  endif()
  add_link_options(-fsanitize=${DOGWOODLATCH_SANITIZE})
endif()

# Paths relative to the source tree let checkouts at different places share cached objects.
find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM AND NOT DOGWOODLATCH_DAEMONS_ONLY)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${CMAKE_COMMAND} -E env CCACHE_BASEDIR=${CMAKE_SOURCE_DIR} CCACHE_NOHASHDIR=1
      CCACHE_SLOPPINESS=pch_defines,time_macros,include_file_mtime,include_file_ctime ${CCACHE_PROGRAM})
endif()
