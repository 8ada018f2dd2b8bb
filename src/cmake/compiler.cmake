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
