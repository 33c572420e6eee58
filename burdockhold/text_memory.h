#ifndef BURDOCKHOLD_TEXT_MEMORY_H
#define BURDOCKHOLD_TEXT_MEMORY_H

#include <string>

namespace burdockhold {

/// Empties the text and frees its memory. Assigning an empty string keeps the allocation.
inline void freeText(std::string &text)
{
    std::string().swap(text);
}

} // namespace burdockhold

#endif
