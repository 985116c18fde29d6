// Boost.JSON, compiled from its headers.
#include <boost/json/src.hpp>
