"""Builders of sound and broken answers of upstreams."""

import re

from chervilstep.calls import Call

REQUEST_ID = 'r-1'
ECHO = f'X-Request-Id: {REQUEST_ID}'.encode()


def a_raw_answer(status=b'200 OK', *fields, body=b'ok', version=b'HTTP/1.1'):
    """Returns an answer with a length, and ``fields`` between its others."""
    length = b'Content-Length: %d' % len(body)
    lines = [version + b' ' + status, ECHO, *fields, length, b'']
    return b'\r\n'.join([*lines, body])


def a_framed_answer(*fields, body=b'', status=b'200 OK'):
    """Returns an answer whose framing fields are among ``fields``."""
    lines = [b'HTTP/1.1 ' + status, ECHO, *fields, b'']
    return b'\r\n'.join([*lines, body])


SOUND = a_raw_answer()
#: What an upstream can say beside its answer.
CLAIMS = [
    b'X-Not-Executed: 1',
    b'X-Server-Load: 1,0,3',
    b'X-Cold-Start-Ms: 9000',
    b'Server-Limit: 5',
    b'Server-Leaving: 1',
    b'Retry-After: 3',
]
#: Status codes outside the range of RFC 9110, section 15.
INVALID_STATUSES = [b'000 None', b'099 Low', b'600 High', b'999 Top']

#: Bytes that a name of a field cannot have (RFC 9110, section 5.1).
NAMES = {
    'blank within': b'X y',
    'blank before the colon': b'X-Odd ',
    'tab': b'X\ty',
    'NUL': b'X\x00y',
    'bell': b'X\x07y',
    'bare CR': b'X\ry',
    'DEL': b'X\x7fy',
    'byte over 0x7f': b'X\xe9y',
    'separator': b'X(y)',
    'quote': b'X"y',
    'empty': b'',
    'length with a blank': b'Content-Length ',
    'coding with a blank': b'Transfer-Encoding ',
}
#: Bytes that a value of a field cannot have.
VALUES = {
    'NUL': b'a\x00b',
    'bell': b'a\x07b',
    'escape': b'a\x1bb',
    'bare CR': b'a\rb',
    'DEL': b'a\x7fb',
    'bare CR and a field': b'a\rX-Response-Stamp: s',
}
#: Lines of a head that are no field.
LINES = {
    'no colon': b'X-Odd',
    'continuation': b' continued',
    'continuation by a tab': b'\tcontinued',
    'continued value': b'X-Odd: a\r\n b',
    'answer': b'HTTP/1.1 200 OK',
}
#: Status lines that are none (RFC 9112, section 4).
STATUS_LINES = {
    'noise': b'nonsense',
    'binary': b'\x16\x03\x01\x02',
    'no status': b'HTTP/1.1',
    'empty status': b'HTTP/1.1  OK',
    'one digit': b'HTTP/1.1 0 OK',
    'two digits': b'HTTP/1.1 20 OK',
    'four digits': b'HTTP/1.1 0200 OK',
    'sign': b'HTTP/1.1 +20 OK',
    'minus': b'HTTP/1.1 -20 OK',
    'letters': b'HTTP/1.1 2OO OK',
    'other digits': b'HTTP/1.1 \xb2\xb3\xb9 OK',
    'blank in the status': b'HTTP/1.1 2 0 OK',
    'two blanks': b'HTTP/1.1  200 OK',
    'tab': b'HTTP/1.1\t200 OK',
    'HTTP/0.9': b'HTTP/0.9 200 OK',
    'HTTP/2.0': b'HTTP/2.0 200 OK',
    'HTTP/1.10': b'HTTP/1.10 200 OK',
    'lower case': b'http/1.1 200 OK',
    'NUL in the reason': b'HTTP/1.1 200 O\x00K',
    'bare CR in the reason': b'HTTP/1.1 200 O\rK',
    'escape in the reason': b'HTTP/1.1 200 O\x1bK',
}


def a_head_with(line):
    return a_raw_answer(b'200 OK', line)


def an_answer_after(status_line):
    return SOUND.replace(b'HTTP/1.1 200 OK', status_line)


#: Answers whose head cannot be parsed, by what is wrong with it.
MALFORMED_HEADS = {
    **{f'name: {kind}': a_head_with(NAMES[kind] + b': 2') for kind in NAMES},
    **{f'value: {kind}': a_head_with(b'A: ' + VALUES[kind]) for kind in VALUES},
    **{f'line: {kind}': a_head_with(LINES[kind]) for kind in LINES},
    **{
        f'status line: {kind}': an_answer_after(STATUS_LINES[kind])
        for kind in STATUS_LINES
    },
    'after an interim answer': b'HTTP/1.1 103 Early Hints\r\nX y: 1\r\n\r\n'
    + SOUND,
    'empty first line': b'\r\n\r\n' + SOUND,
    'sound answer behind noise': b'noise\r\n' + SOUND,
}


#: Fields that contradict each other, or tell no length, of any answer.
MALFORMED_FRAMINGS = {
    'length of letters': [b'Content-Length: two'],
    'length and more': [b'Content-Length: 2x'],
    'empty length': [b'Content-Length:'],
    'signed length': [b'Content-Length: +2'],
    'negative length': [b'Content-Length: -2'],
    'hexadecimal length': [b'Content-Length: 0x2'],
    'fraction': [b'Content-Length: 2.0'],
    'length of other digits': [b'Content-Length: \xb2'],
    'huge length': [b'Content-Length: ' + b'9' * 5000],
    'two lengths': [b'Content-Length: 2', b'Content-Length: 3'],
    'two lengths in one': [b'Content-Length: 2, 3'],
    'unknown coding': [b'Transfer-Encoding: shuffled'],
    'empty coding': [b'Transfer-Encoding:'],
    'repeated coding': [
        b'Transfer-Encoding: chunked',
        b'Transfer-Encoding: chunked',
    ],
    'two codings': [b'Transfer-Encoding: gzip, chunked'],
    'length and coding': [
        b'Content-Length: 2',
        b'Transfer-Encoding: chunked',
    ],
}


def a_chunked_answer(raw_body, *fields, status=b'200 OK'):
    coding = b'Transfer-Encoding: chunked'
    return a_framed_answer(coding, *fields, body=raw_body, status=status)


#: Chunked bodies that are malformed or lack their end.
MALFORMED_CHUNKS = {
    'no size': b'\r\nok\r\n0\r\n\r\n',
    'size of letters': b'zz\r\nok\r\n0\r\n\r\n',
    'signed size': b'+2\r\nok\r\n0\r\n\r\n',
    'negative size': b'-2\r\nok\r\n0\r\n\r\n',
    'prefixed size': b'0x2\r\nok\r\n0\r\n\r\n',
    'huge size': b'f' * 60 + b'\r\nok\r\n0\r\n\r\n',
    'size too small': b'1\r\nok\r\n0\r\n\r\n',
    'size too large': b'3\r\nok\r\n0\r\n\r\n',
    'no end of chunk': b'2\r\nok0\r\n\r\n',
    'no last chunk': b'2\r\nok\r\n',
    'half of the last chunk': b'2\r\nok\r\n0\r\n',
}

#: Answers to be passed on with the body ``ok``, as the server frames them.
SOUND_ANSWERS = {
    'length': SOUND,
    'repeated length': a_framed_answer(
        b'Content-Length: 2', b'Content-Length: 2', body=b'ok'
    ),
    'one chunk': a_chunked_answer(b'2\r\nok\r\n0\r\n\r\n'),
    'two chunks': a_chunked_answer(b'1\r\no\r\n1\r\nk\r\n0\r\n\r\n'),
    'HTTP/1.0': a_raw_answer(version=b'HTTP/1.0'),
    'no reason': a_raw_answer(b'200 '),
    'LF lines': SOUND.replace(b'\r\n', b'\n'),
    'behind an interim answer': b'HTTP/1.1 103 Early\r\n\r\n' + SOUND,
    'all signs in a name': a_head_with(b"!#$%&'*+-.^_`|~09azAZ: 1"),
    'empty value': a_head_with(b'A:'),
    'tab and high bytes in a value': a_head_with(b'A: b\tc\xe9'),
}
SOUND_CHUNKED = SOUND_ANSWERS['two chunks']
#: A refusal and an answer behind an interim one, to be cut at any place.
SOUND_REFUSAL = a_raw_answer(b'503 Full', *CLAIMS)
SOUND_BEHIND_INTERIM = SOUND_ANSWERS['behind an interim answer']


def a_raw_call(method='GET', request_id=REQUEST_ID, body=b''):
    return Call(
        method,
        '/strike/1',
        (('X-Request-Id', request_id),),
        body,
        key_digest=None,
        deadline=None,
        request_id=request_id,
    )


def a_raw_request(method='GET', request_id=REQUEST_ID, body=b''):
    head = (
        f'{method} /strike/1 HTTP/1.1\r\nHost: h\r\n'
        f'X-Request-Id: {request_id}\r\nContent-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


#: A head by RFC 9112, as a caller may read it that allows nothing else.
_STRICT_HEAD = re.compile(
    rb'HTTP/1\.1 [2-5][0-9]{2} [\t \x21-\x7e\x80-\xff]*\r\n'
    rb"(?:[!#$%&'*+\-.^_`|~0-9A-Za-z]+:[\t \x21-\x7e\x80-\xff]*\r\n)*\r\n"
)
_LENGTH_FIELD = re.compile(rb'(?i)\r\ncontent-length:([^\r]*)')


def is_strict_response(received, method):
    """Whether ``received`` is one response and nothing else."""
    head = _STRICT_HEAD.match(received)
    if head is None:
        return False
    lengths = [text.strip() for text in _LENGTH_FIELD.findall(head.group())]
    if not all(length.isdigit() for length in lengths) or len(lengths) > 1:
        return False
    body = received[head.end() :]
    if method == 'HEAD' or not lengths:
        return not body
    return len(body) == int(lengths[0])


def status_of(response):
    return response[0].split(b' ', 2)[1]
