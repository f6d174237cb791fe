// Tests the official OpenAI client against `ryeglade-lab demo`. Only its base URL and its key are set, and its
// retries are off.
import { spawn } from 'node:child_process';
import assert from 'node:assert/strict';
import { after, before, test } from 'node:test';
import OpenAI from 'openai';

let lab, base;
before(async () => {
  lab = spawn(process.env.RYEGLADE_LAB, ['demo', '--port', '0', '--key', 'a-key'], { stdio: ['ignore', 'pipe', 'inherit'] });
  base = await new Promise((ready) => {
    let text = '';
    lab.stdout.on('data', (piece) => {
      text += piece;
      const found = /^ready base_url=(\S+) key=a-key$/m.exec(text);
      if (found) ready(found[1]);
    });
  });
});
after(async () => {
  const ended = new Promise((done) => lab.on('exit', done));
  lab.kill('SIGINT');
  assert.equal(await ended, 0);
});

const client = (apiKey = 'a-key') => new OpenAI({ baseURL: base, apiKey, maxRetries: 0 });
const request = (content, extra = {}) => ({ model: 'docs-model', messages: [{ role: 'user', content }], max_tokens: 12, ...extra });

test('complete and streamed responses succeed', async () => {
  const complete = await client().chat.completions.create(request('hello'));
  assert.equal(complete.choices[0].finish_reason, 'stop');
  assert.equal(complete.usage.completion_tokens, 12);
  assert.match(complete._request_id, /^req_[0-9a-f]{16}$/);
  const stream = await client().chat.completions.create(request('hello', { stream: true, stream_options: { include_usage: true } }));
  let text = '', usage;
  for await (const chunk of stream) {
    text += chunk.choices[0]?.delta?.content ?? '';
    usage = chunk.usage ?? usage;
  }
  assert.ok(text.length > 0 && usage.completion_tokens === 12);
});

test('completions and models', async () => {
  const answer = await client().completions.create({ model: 'agent-model', prompt: 'once', max_tokens: 5 });
  assert.equal(answer.object, 'text_completion');
  assert.ok(answer.choices[0].text.length > 0);
  assert.deepEqual((await client().models.list()).data.map((m) => m.id), ['docs-model', 'agent-model']);
  assert.equal((await client().models.retrieve('docs-model')).object, 'model');
});

test('errors are raised as the exception classes of the client', async () => {
  await assert.rejects(client('wrong').models.list(), OpenAI.AuthenticationError);
  await assert.rejects(client().models.retrieve('none'), OpenAI.NotFoundError);
  await assert.rejects(client().chat.completions.create(request('x', { n: 2 })), (e) => {
    assert.ok(e instanceof OpenAI.BadRequestError);
    assert.equal(e.param, 'n');
    return true;
  });
  await assert.rejects(client().chat.completions.create(request('#fault=bad-request')), OpenAI.BadRequestError);
  await assert.rejects(client().chat.completions.create(request('#fault=break')), OpenAI.InternalServerError);
});

test('a stream that breaks off throws after its first chunks', async () => {
  const stream = await client().chat.completions.create(request('#fault=break', { stream: true }));
  let choices = 0;
  await assert.rejects(async () => {
    for await (const chunk of stream) choices += chunk.choices.length;
  }, OpenAI.APIError);
  assert.ok(choices > 0);
});

test('a client can stop reading a stream', async () => {
  const stream = await client().chat.completions.create(request('bye', { stream: true }));
  for await (const chunk of stream) {
    assert.ok(chunk.choices);
    break;
  }
});
