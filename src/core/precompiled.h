#ifndef MANGOPLANK_CORE_PRECOMPILED_H_
#define MANGOPLANK_CORE_PRECOMPILED_H_

// Headers that are slow to compile and rarely change.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <boost/json.hpp>
#include <boost/leaf.hpp>
#include <boost/system/result.hpp>
#include <chrono>
#include <compare>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#endif  // MANGOPLANK_CORE_PRECOMPILED_H_
