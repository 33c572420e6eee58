#define BOOST_TEST_MODULE byte_budget
#include "burdockhold/byte_budget.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <random>
#include <string>
#include <vector>

using namespace burdockhold;

// Guards against texts that together hold more than the budget, and against bytes that stay taken
// after their text is gone, compared with sums over all texts.
BOOST_AUTO_TEST_CASE(textsStayWithinTheBudget)
{
    constexpr std::size_t Budget = 1000;
    constexpr std::size_t Limit = 400;
    std::mt19937 random(38);
    byte_budget budget(Budget);
    std::vector<std::unique_ptr<budgeted_text>> texts;
    for (int round = 0; round < 20000; ++round) {
        std::size_t used = 0;
        for (const auto &text : texts)
            used += text->text().size();
        BOOST_TEST(budget.used() == used);
        const std::size_t choice = random() % 10;
        if (texts.empty() || choice == 0) {
            texts.push_back(std::make_unique<budgeted_text>(budget, Limit));
            continue;
        }
        const std::size_t index = random() % texts.size();
        if (choice == 1) {
            texts.erase(texts.begin() + static_cast<std::ptrdiff_t>(index));
            continue;
        }
        budgeted_text &text = *texts[index];
        const std::string bytes(random() % 300, 'x');
        const std::size_t before = text.text().size();
        const bool fits = used + bytes.size() <= Budget && before + bytes.size() <= Limit;
        BOOST_TEST(text.append(bytes) == fits);
        BOOST_TEST(text.text().size() == (fits ? before + bytes.size() : before));
    }
    texts.clear();
    BOOST_TEST(budget.used() == 0U);
}
