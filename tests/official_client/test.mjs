// The official client, with nothing changed but its base URL and key, against `ryeglade-lab demo`.
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
const ask = (content, more = {}) => ({ model: 'docs-model', messages: [{ role: 'user', content }], max_tokens: 12, ...more });

test('whole and streamed answers hold the same text', async () => {
  const whole = await client().chat.completions.create(ask('hello'));
  assert.equal(whole.choices[0].finish_reason, 'stop');
  assert.equal(whole.usage.completion_tokens, 12);
  assert.match(whole._request_id, /^req_[0-9a-f]{16}$/);
  const stream = await client().chat.completions.create(ask('hello', { stream: true, stream_options: { include_usage: true } }));
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

test('errors arrive as the classes that programs catch', async () => {
  await assert.rejects(client('wrong').models.list(), OpenAI.AuthenticationError);
  await assert.rejects(client().models.retrieve('none'), OpenAI.NotFoundError);
  await assert.rejects(client().chat.completions.create(ask('x', { n: 2 })), (e) => {
    assert.ok(e instanceof OpenAI.BadRequestError);
    assert.equal(e.param, 'n');
    return true;
  });
  await assert.rejects(client().chat.completions.create(ask('#fault=bad-request')), OpenAI.BadRequestError);
  await assert.rejects(client().chat.completions.create(ask('#fault=break')), OpenAI.InternalServerError);
});

test('a stream that breaks throws after its first pieces', async () => {
  const stream = await client().chat.completions.create(ask('#fault=break', { stream: true }));
  let pieces = 0;
  await assert.rejects(async () => {
    for await (const chunk of stream) pieces += chunk.choices.length;
  }, OpenAI.APIError);
  assert.ok(pieces > 0);
});

test('a client that stops reading leaves in order', async () => {
  const stream = await client().chat.completions.create(ask('bye', { stream: true }));
  for await (const chunk of stream) {
    assert.ok(chunk.choices);
    break;
  }
});
