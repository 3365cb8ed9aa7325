#define BOOST_TEST_MODULE plantainpaddle
#include <boost/test/unit_test.hpp>
