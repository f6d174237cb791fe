// Requests with the same content in every form of framing that a sound client may use, and in forms that
// can't be read or that two recipients may read differently. The tests of the parser and of both fronts share
// these tables.
#pragma once

#include <cstdio>
#include <string>
#include <string_view>
#include <vector>

namespace framing {

// A request from its framing fields on. The test writes the request line and the other fields before them.
struct Case {
  std::string name;
  std::string fields;   // framing fields, each with its line end
  std::string content;  // what follows the empty line
  std::string line_end = "\r\n";
  std::string request_line = "POST /v1/chat/completions HTTP/1.1";
  std::string before = "";  // bytes ahead of the request line
  std::string head_end = "\r\n";
};

inline std::string Hex(std::size_t number) {
  char text[20];
  std::snprintf(text, sizeof text, "%zx", number);
  return text;
}

// A chunk with any text as its size line and as its line end.
inline std::string Chunk(std::string_view data, const std::string& size_line,
                         const std::string& data_end = "\r\n") {
  return size_line + std::string(data) + data_end;
}

inline std::string Chunk(std::string_view data) { return Chunk(data, Hex(data.size()) + "\r\n"); }

inline const std::string kChunked = "Transfer-Encoding: chunked\r\n";
inline const std::string kLast = "0\r\n\r\n";

// Returns the head and the content. `other_fields` are lines with CRLF.
inline std::string Text(const Case& c, const std::string& other_fields) {
  std::string head = c.request_line + "\r\n" + other_fields + c.fields;
  if (c.line_end != "\r\n") {
    for (std::size_t at = 0; (at = head.find("\r\n", at)) != std::string::npos; at += c.line_end.size())
      head.replace(at, 2, c.line_end);
  }
  return c.before + head + c.head_end + c.content;
}

inline Case Chunked(const std::string& name, const std::string& content) { return {name, kChunked, content}; }

// Each is served with `body`, which has at least 16 bytes.
inline std::vector<Case> SoundCases(const std::string& body) {
  const std::string size = Hex(body.size()), length = std::to_string(body.size());
  const std::string_view text = body;
  std::string upper_case = size;
  for (char& c : upper_case) c = c >= 'a' && c <= 'f' ? static_cast<char>(c - 'a' + 'A') : c;
  std::string single_bytes;
  for (const char& c : text) single_bytes += Chunk({&c, 1});
  std::vector<Case> all = {
      {"a length", "Content-Length: " + length + "\r\n", body},
      {"a length with leading zeros", "Content-Length: 000" + length + "\r\n", body},
      {"a length without blank", "content-length:" + length + "\r\n", body},
      {"a length between blanks", "CONTENT-LENGTH:   " + length + "  \r\n", body},
      Chunked("one chunk", Chunk(text) + kLast),
      Chunked("two chunks", Chunk(text.substr(0, 7)) + Chunk(text.substr(7)) + kLast),
      Chunked("each byte a chunk", single_bytes + kLast),
      Chunked("a size in upper case", Chunk(text, upper_case + "\r\n") + kLast),
      Chunked("a size with leading zeros", Chunk(text, "00000000000000000000" + size + "\r\n") + kLast),
      Chunked("a last chunk of several zeros", Chunk(text) + "0000\r\n\r\n"),
      Chunked("blanks behind the size", Chunk(text, size + "  \r\n") + kLast),
      Chunked("a last chunk with extension", Chunk(text) + "0;last\r\n\r\n"),
      Chunked("a last chunk with blanks", Chunk(text) + "0  \r\n\r\n"),
      Chunked("a trailer", Chunk(text) + "0\r\nX-Checksum: 5\r\n\r\n"),
      Chunked("several trailers", Chunk(text) + "0\r\nA: 1\r\nB:\r\nC:  2 \r\n\r\n"),
      Chunked("a trailer with LF", Chunk(text) + "0\r\nA: 1\n\n"),
      Chunked("a folded trailer", Chunk(text) + "0\r\nA: 1\r\n 2\r\n\r\n"),
      Chunked("trailers called as framing fields",
              Chunk(text) + "0\r\nContent-Length: 3\r\nTransfer-Encoding: gzip\r\n\r\n"),
      Chunked("trailers called as fields of the protocol",
              Chunk(text) + "0\r\nX-Call-Id: t-1\r\nX-Budget: 0\r\nAuthorization: x\r\n\r\n"),
      {"a coding in upper case", "TRANSFER-ENCODING: CHUNKED\r\n", Chunk(text) + kLast},
      {"a coding between blanks", "Transfer-Encoding:  \t chunked \t\r\n", Chunk(text) + kLast},
      {"a coding without blank", "Transfer-Encoding:chunked\r\n", Chunk(text) + kLast},
      {"a coding in a list with empty elements", "Transfer-Encoding: , chunked,\r\n", Chunk(text) + kLast},
      {"a folded coding", "Transfer-Encoding:\r\n chunked\r\n", Chunk(text) + kLast},
      {"a folded field", "X-Note: a\r\n\tb\r\n" + kChunked, Chunk(text) + kLast},
      {"trailers announced", "Trailer: X-Checksum\r\nTE: trailers\r\n" + kChunked,
       Chunk(text) + "0\r\nX-Checksum: 5\r\n\r\n"},
      {"an empty field ahead", "X-Empty:\r\n" + kChunked, Chunk(text) + kLast},
  };
  for (const std::string& extension :
       std::vector<std::string>{";a", ";a=b", ";a=\"b;c\"", ";a=\"\\\"\"", ";a;b=c", " ;a=b", "\t;a=b",
                                "; a = b", ";a=\"\t\xc3\xa9\"", ";"})
    all.push_back(
        Chunked("the extension '" + extension + "'", Chunk(text, size + extension + "\r\n") + kLast));
  all.push_back(
      Chunked("a long extension", Chunk(text, size + ";a=" + std::string(4000, 'x') + "\r\n") + kLast));
  Case with_lf{"LF in the head", kChunked, Chunk(text) + kLast, "\n"};
  with_lf.head_end = "\n";
  all.push_back(with_lf);
  Case with_blank_lines = Chunked("empty lines ahead", Chunk(text) + kLast);
  with_blank_lines.before = "\r\n\n\r\n";
  all.push_back(with_blank_lines);
  return all;
}

// None may be served. Each is recognised by its last byte at the latest.
inline std::vector<Case> UnreadableCases(const std::string& body) {
  const std::string size = Hex(body.size()), length = std::to_string(body.size());
  const std::string_view text = body;
  std::vector<Case> all = {
      Chunked("two bytes more than the size", Chunk(text, size + "\r\n", "}}") + kLast),
      Chunked("three bytes more that look like a size", Chunk(text, size + "\r\n", "340\r\n") + kLast),
      Chunked("one byte more than the size", Chunk(text, size + "\r\n", "}\r\n") + kLast),
      Chunked("one byte less than the size", Chunk(text, Hex(body.size() + 1) + "\r\n") + kLast),
      Chunked("two bytes less than the size", Chunk(text, Hex(body.size() + 2) + "\r\n") + kLast),
      Chunked("a size above the limit", Chunk(text, "fffffff\r\n") + kLast),
      Chunked("a size of 64 bits", Chunk(text, "ffffffffffffffff\r\n") + kLast),
      Chunked("a size of 65 bits", Chunk(text, "10000000000000005\r\n") + kLast),
      Chunked("LF in an extension", Chunk(text, size + ";a\n\r\n") + kLast),
      Chunked("CR in an extension", Chunk(text, size + ";a\rb\r\n") + kLast),
      Chunked("NUL in an extension", Chunk(text, size + std::string(";a\0\r\n", 5)) + kLast),
      Chunked("an extension without end",
              Chunk(text, size + ";" + std::string(20'000, 'x') + "\r\n") + kLast),
      Chunked("a last chunk with LF", Chunk(text) + "0\n\r\n"),
      Chunked("a last chunk with CR and another byte", Chunk(text) + "0\r\r\n\r\n"),
      Chunked("a trailer without colon", Chunk(text) + "0\r\nabc\r\n\r\n"),
      Chunked("a trailer without name", Chunk(text) + "0\r\n: a\r\n\r\n"),
      Chunked("a trailer with a blank in its name", Chunk(text) + "0\r\nA : 1\r\n\r\n"),
      Chunked("a trailer that begins with a blank", Chunk(text) + "0\r\n A: 1\r\n\r\n"),
      Chunked("a trailer with CR and another byte", Chunk(text) + "0\r\nA: 1\rB: 2\r\n\r\n"),
      Chunked("a trailer with NUL", Chunk(text) + std::string("0\r\nA: \0\r\n\r\n", 11)),
      Chunked("an end with CR and another byte", Chunk(text) + "0\r\n\rX"),
      Chunked("trailers above the limit", Chunk(text) + "0\r\nA: " + std::string(20'000, 'x') + "\r\n\r\n"),
      {"both a length and a coding", "Content-Length: " + length + "\r\n" + kChunked, Chunk(text) + kLast},
      {"both a coding and a length", kChunked + "Content-Length: " + length + "\r\n", Chunk(text) + kLast},
      {"a blank before the colon of the coding", "Transfer-Encoding : chunked\r\n", Chunk(text) + kLast},
      {"a blank before the colon of the length", "Content-Length : " + length + "\r\n", body},
      {"a tab before the colon of the length", "Content-Length\t: " + length + "\r\n", body},
      {"a blank before the colon of another field", "X-Note : a\r\n" + kChunked, Chunk(text) + kLast},
      {"the coding twice", kChunked + kChunked, Chunk(text) + kLast},
      {"two lengths that differ", "Content-Length: " + length + "\r\nContent-Length: 5\r\n", body},
      {"a length that is folded", "Content-Length: 1\r\n 2\r\n", body},
      {"CR and another byte behind an empty field", "X-Empty:\rX-Note: a\r\n" + kChunked,
       Chunk(text) + kLast},
      {"CR in a field", "X-Note: a\rb\r\n" + kChunked, Chunk(text) + kLast},
      {"NUL in a field", std::string("X-Note: a\0b\r\n", 13) + kChunked, Chunk(text) + kLast},
      {"a field without colon", "X-Note\r\n" + kChunked, Chunk(text) + kLast},
  };
  for (const std::string& line : std::vector<std::string>{
           "", " ", "g\r\n", "zz\r\n", "\r\n", ";a\r\n", "0x" + size + "\r\n", "+" + size + "\r\n",
           "-" + size + "\r\n", " " + size + "\r\n", size + " zz\r\n", size + " 5\r\n", size + "\t5\r\n",
           size + ",5\r\n", size + "\n", size + "\rX", size + "\r\r\n", size + " \n", size + ".0\r\n"})
    all.push_back(Chunked("the size line '" + line + "'", Chunk(text, line) + kLast));
  for (const std::string& end :
       std::vector<std::string>{"", "\n", "\r", "XX", "\n\r", " \r\n", "\r\r\n", "\rX", "X\n", "\r\n\r\n"})
    all.push_back(Chunked("the chunk's end '" + end + "'", Chunk(text, size + "\r\n", end) + kLast));
  for (const std::string& coding : std::vector<std::string>{
           "", "chunked, chunked", "gzip, chunked", "chunked, gzip", "gzip", "identity", "xchunked",
           "chunkedx", "chunked;q=1", "\vchunked", "chun ked", "\"chunked\""})
    all.push_back(
        {"the coding '" + coding + "'", "Transfer-Encoding: " + coding + "\r\n", Chunk(text) + kLast});
  for (const std::string& bad :
       std::vector<std::string>{"", "-1", "+5", "5 5", "5,5", "5, 5", "0x5", "abc", "5.0", "5e1", "1e",
                                "18446744073709551616", "99999999999999999999999", "9999999999", "5;a"})
    all.push_back({"the length '" + bad + "'", "Content-Length: " + bad + "\r\n", body});
  for (const std::string& version : std::vector<std::string>{" HTTP/2.0", " HTTP/0.9", " HTTP/3.1", " HTTP/1",
                                                             "  HTTQ/1.1", " HTTP/1.1 x"}) {
    Case c = Chunked("the version '" + version + "'", Chunk(text) + kLast);
    c.request_line = "POST /v1/chat/completions" + version;
    all.push_back(c);
  }
  Case old_version = Chunked("chunks in HTTP/1.0", Chunk(text) + kLast);
  old_version.request_line = "POST /v1/chat/completions HTTP/1.0";
  all.push_back(old_version);
  Case tab = Chunked("a tab in the target", Chunk(text) + kLast);
  tab.request_line = "POST /v1/chat/completions?a\tb HTTP/1.1";
  all.push_back(tab);
  Case head_end = Chunked("a head that ends with CR and another byte", Chunk(text) + kLast);
  head_end.head_end = "\rX";
  all.push_back(head_end);
  return all;
}

}  // namespace framing
