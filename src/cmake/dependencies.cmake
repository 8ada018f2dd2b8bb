# Libraries from the distribution.
find_package(Threads REQUIRED)
find_package(PkgConfig REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(nlohmann_json 3.11 REQUIRED)
pkg_check_modules(HTTPLIB REQUIRED IMPORTED_TARGET cpp-httplib)
pkg_check_modules(LOG4CPLUS REQUIRED IMPORTED_TARGET log4cplus)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
find_library(RAPIDCHECK_LIBRARY rapidcheck REQUIRED)
