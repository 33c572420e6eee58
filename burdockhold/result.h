#ifndef BURDOCKHOLD_RESULT_H
#define BURDOCKHOLD_RESULT_H

// Results of functions that can fail. Every layer has its own enumeration of error codes; a layer
// that calls another converts the error it gets into one of its own and keeps the text. Nothing in
// this library throws across a public function.

#include <string>
#include <utility>
#include <variant>

namespace burdockhold {

/// What went wrong: the layer's code, a sentence for people, and the offending piece of the input
/// (file and key, entry name, URL) or an empty string.
template <typename Code>
struct basic_error
{
    Code code;
    std::string text;
    std::string context;
};

/// Either a value or the error of one layer.
template <typename T, typename Code>
using result = std::variant<T, basic_error<Code>>;

/// The value of functions that return nothing on success.
struct success
{
};

/// Returns true when the result holds a value.
template <typename T, typename Code>
bool isOk(const result<T, Code> &r)
{
    return r.index() == 0;
}

/// Returns the value. The result must hold one.
template <typename T, typename Code>
T &valueOf(result<T, Code> &r)
{
    return std::get<0>(r);
}

template <typename T, typename Code>
const T &valueOf(const result<T, Code> &r)
{
    return std::get<0>(r);
}

/// Returns the error. The result must hold one.
template <typename T, typename Code>
const basic_error<Code> &errorOf(const result<T, Code> &r)
{
    return std::get<1>(r);
}

/// Visitor built from one callable for each alternative of a variant.
template <typename... Callables>
struct overloaded : Callables...
{
    using Callables::operator()...;
};

template <typename... Callables>
overloaded(Callables...) -> overloaded<Callables...>;

} // namespace burdockhold

#endif
