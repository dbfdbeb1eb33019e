// The one file that compiles the parts of Boost that are otherwise repeated in
// every file that includes them.
#include <boost/asio/impl/src.hpp>
#include <boost/beast/src.hpp>
#include <boost/json/src.hpp>
