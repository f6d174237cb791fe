#include "settings/toml_reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <iterator>
#include <sstream>

namespace ryeglade {
namespace {

using policy::Time;

constexpr std::size_t kMiB = std::size_t{1024} * 1024;

// A known key is suggested in place of an unknown one if it differs by at most this number of edits.
constexpr std::size_t kMaxSuggestionDistance = 3;

// Returns the Levenshtein distance of two words.
std::size_t EditDistance(std::string_view a, std::string_view b) {
  std::vector<std::size_t> row(b.size() + 1);
  for (std::size_t j = 0; j <= b.size(); ++j) row[j] = j;
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t above = row[j];
      row[j] = std::min({above + 1, row[j - 1] + 1, diagonal + (a[i - 1] == b[j - 1] ? 0 : 1)});
      diagonal = above;
    }
  }
  return row[b.size()];
}

struct Unit {
  std::string_view name;
  double factor;
};

// Parses a number followed by one of the units, such as "7.5s", and returns it in the unit whose factor is 1.
// Returns NaN if the text has another form.
double ParseQuantity(std::string_view text, const std::vector<Unit>& units) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc()) return std::nan("");
  std::string_view unit(end, static_cast<std::size_t>(text.data() + text.size() - end));
  while (!unit.empty() && unit.front() == ' ') unit.remove_prefix(1);
  for (const Unit& u : units) {
    if (u.name == unit) return value * u.factor;
  }
  return std::nan("");
}

std::string DurationText(Time t) {
  if (t % 60'000'000 == 0 && t > 0) return fmt::format("{}m", t / 60'000'000);
  if (t % 1'000'000 == 0) return fmt::format("{}s", t / 1'000'000);
  return fmt::format("{}ms", static_cast<double>(t) / 1000);
}

std::string BytesText(std::size_t n) {
  if (n % kMiB == 0 && n > 0) return fmt::format("{}MiB", n / kMiB);
  return n % 1024 == 0 ? fmt::format("{}KiB", n / 1024) : fmt::format("{}B", n);
}

}  // namespace

std::string ReadWholeFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw SettingsError(path + ": cannot be read; check that it exists and is readable");
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

toml::table ParseToml(const std::string& file, const std::string& text) {
  try {
    return toml::parse(text, file);
  } catch (const toml::parse_error& e) {
    throw SettingsError(fmt::format("{}:{}: not TOML: {}", file, e.source().begin.line, e.description()));
  }
}

std::string TomlSection::Location(const std::string& key) const {
  std::size_t line = 0;
  if (table_ != nullptr) {
    line = table_->source().begin.line;
    if (const auto it = table_->find(key); it != table_->end()) line = it->second.source().begin.line;
  }
  return fmt::format("{}:{}: {}{}{}", file_, line, path_, path_.empty() || key.empty() ? "" : ".", key);
}

void TomlSection::Fail(const std::string& key, const std::string& error) const {
  throw SettingsError(Location(key) + ": " + error);
}

const toml::node* TomlSection::Find(const std::string& key) {
  known_.push_back(key);
  return table_ == nullptr ? nullptr : table_->get(key);
}

bool TomlSection::Has(const std::string& key) { return Find(key) != nullptr; }

std::string TomlSection::Text(const std::string& key, const std::string& fallback) {
  const toml::node* node = Find(key);
  if (node == nullptr) return fallback;
  if (!node->is_string()) Fail(key, "must be text in quotes");
  return node->as_string()->get();
}

std::string TomlSection::RequiredText(const std::string& key, const std::string& description) {
  std::string text = Text(key, "");
  if (text.empty()) Fail(key, "is missing; give " + description);
  return text;
}

std::string TomlSection::Choice(const std::string& key, const std::vector<std::string>& allowed,
                                const std::string& fallback) {
  std::string text = Text(key, fallback);
  if (std::find(allowed.begin(), allowed.end(), text) != allowed.end()) return text;
  std::string words;
  for (const std::string& word : allowed) words += (words.empty() ? "\"" : ", \"") + word + "\"";
  Fail(key, fmt::format("is \"{}\"; allowed are {}", text, words));
}

double TomlSection::Number(const std::string& key, double min, double max, double fallback) {
  const toml::node* node = Find(key);
  if (node == nullptr) return fallback;
  const auto value = node->value<double>();
  if (!node->is_number() || !value || !(*value >= min && *value <= max)) {
    Fail(key, fmt::format("must be a number from {} to {}", min, max));
  }
  return *value;
}

std::size_t TomlSection::Integer(const std::string& key, std::size_t min, std::size_t max,
                                 std::size_t fallback) {
  const toml::node* node = Find(key);
  if (node == nullptr) return fallback;
  const auto value = node->is_integer() ? node->value<std::int64_t>() : std::nullopt;
  if (!value || *value < 0 || static_cast<std::size_t>(*value) < min ||
      static_cast<std::size_t>(*value) > max) {
    Fail(key, fmt::format("must be a whole number from {} to {}", min, max));
  }
  return static_cast<std::size_t>(*value);
}

bool TomlSection::Flag(const std::string& key, bool fallback) {
  const toml::node* node = Find(key);
  if (node == nullptr) return fallback;
  if (!node->is_boolean()) Fail(key, "must be true or false, without quotes");
  return node->as_boolean()->get();
}

Time TomlSection::Duration(const std::string& key, Time min, Time max, Time fallback) {
  const toml::node* node = Find(key);
  if (node == nullptr) return fallback;
  const std::string allowed = fmt::format("a time in quotes with its unit (ms, s, m or h), from {} to {}",
                                          DurationText(min), DurationText(max));
  if (node->is_number()) Fail(key, "has no unit; give " + allowed);
  if (!node->is_string()) Fail(key, "must be " + allowed);
  const double value =
      ParseQuantity(node->as_string()->get(), {{"ms", 1e3}, {"s", 1e6}, {"m", 60e6}, {"h", 3600e6}});
  if (!(value >= static_cast<double>(min) && value <= static_cast<double>(max))) {
    Fail(key, fmt::format("is \"{}\"; give {}", node->as_string()->get(), allowed));
  }
  return static_cast<Time>(std::llround(value));
}

std::size_t TomlSection::Bytes(const std::string& key, std::size_t min, std::size_t max,
                               std::size_t fallback) {
  const toml::node* node = Find(key);
  if (node == nullptr) return fallback;
  const std::string allowed = fmt::format("a size in quotes with its unit (B, KiB or MiB), from {} to {}",
                                          BytesText(min), BytesText(max));
  if (!node->is_string()) Fail(key, "must be " + allowed);
  const double value =
      ParseQuantity(node->as_string()->get(), {{"B", 1}, {"KiB", 1024}, {"MiB", 1024.0 * 1024}});
  if (!(value >= static_cast<double>(min) && value <= static_cast<double>(max))) {
    Fail(key, fmt::format("is \"{}\"; give {}", node->as_string()->get(), allowed));
  }
  return static_cast<std::size_t>(value);
}

double TomlSection::Rate(const std::string& key, double min, double max, double fallback) {
  const toml::node* node = Find(key);
  if (node == nullptr) return fallback;
  const std::string allowed =
      fmt::format("a rate in quotes with its unit (/s, /m or /h), from {}/s to {}/s", min, max);
  if (node->is_number()) Fail(key, "has no unit; give " + allowed);
  if (!node->is_string()) Fail(key, "must be " + allowed);
  const double value =
      ParseQuantity(node->as_string()->get(), {{"/s", 1}, {"/m", 1 / 60.0}, {"/h", 1 / 3600.0}});
  if (!(value >= min && value <= max))
    Fail(key, fmt::format("is \"{}\"; give {}", node->as_string()->get(), allowed));
  return value;
}

std::vector<std::string> TomlSection::Texts(const std::string& key) {
  std::vector<std::string> texts;
  const toml::node* node = Find(key);
  if (node == nullptr) return texts;
  if (!node->is_array()) Fail(key, "must be a list of texts in quotes");
  for (const toml::node& item : *node->as_array()) {
    if (!item.is_string()) Fail(key, "must contain only texts in quotes");
    texts.push_back(item.as_string()->get());
  }
  return texts;
}

TomlSection TomlSection::Table(const std::string& key) {
  const toml::node* node = Find(key);
  if (node != nullptr && !node->is_table()) Fail(key, "must be a table: [" + key + "]");
  return {file_, path_.empty() ? key : path_ + "." + key, node == nullptr ? nullptr : node->as_table()};
}

std::vector<TomlSection> TomlSection::Tables(const std::string& key) {
  std::vector<TomlSection> all;
  const toml::node* node = Find(key);
  if (node == nullptr) return all;
  const std::string path = path_.empty() ? key : path_ + "." + key;
  if (!node->is_array_of_tables()) Fail(key, "must be written as [[" + path + "]], one table for each entry");
  for (const toml::node& item : *node->as_array()) all.emplace_back(file_, path, item.as_table());
  return all;
}

void TomlSection::RejectUnknownKeys() const {
  if (table_ == nullptr) return;
  for (const auto& [name, node] : *table_) {
    const std::string key(name.str());
    if (std::find(known_.begin(), known_.end(), key) != known_.end()) continue;
    std::string nearest;
    std::string all_known;
    std::size_t best = kMaxSuggestionDistance + 1;
    for (const std::string& known : known_) {
      all_known += (all_known.empty() ? "" : ", ") + known;
      if (const std::size_t distance = EditDistance(key, known); distance < best) {
        best = distance;
        nearest = known;
      }
    }
    Fail(key, nearest.empty() ? "is not known here; known are " + all_known
                              : "is not known here; did you mean '" + nearest + "'?");
  }
}

}  // namespace ryeglade
