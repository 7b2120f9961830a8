// Generates the Markdown table of docs/result-codes.md.
#ifndef BASE_RESULT_CODE_PAGE_H_
#define BASE_RESULT_CODE_PAGE_H_

#include <string>

namespace toucanhollow {

// One row for each result code, in ascending order.
std::string ResultCodeTableMarkdown();

}  // namespace toucanhollow

#endif  // BASE_RESULT_CODE_PAGE_H_
