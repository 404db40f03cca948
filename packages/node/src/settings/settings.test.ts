import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {stringify} from 'smol-toml';
import type {Result} from 'true-myth';
import type {MeshError} from '@verbenabeam/core';
import {matchSnapshot} from '@verbenabeam/testing';
import {loadSettings} from './load-settings.js';
import type {NodeSettings} from './node-settings.js';

interface SettingsWorld {
  text: string;
  loaded: Result<NodeSettings, MeshError>;
}

type Table = Record<string, Record<string, unknown>>;

const token = 'operator-token-0123456789';

function goodSettings(): Table {
  return {
    node: {
      id: 'findings-1',
      environment: 'production',
      data_centre: 'cz-1',
      region: 'cz',
    },
    listen: {
      callers: '127.0.0.1:8080',
      wire: '127.0.0.1:9080',
      admin: '127.0.0.1:9090',
    },
    store: {endpoints: ['http://127.0.0.1:2379']},
    access: {node_key: 'node-key-0123456789', operator_token: token},
  };
}

Given('node settings without changes', function (this: SettingsWorld) {
  this.text = stringify(goodSettings());
});

Given(
  'node settings where {string} is {string}',
  function (this: SettingsWorld, path: string, value: string) {
    const settings = goodSettings();
    const [section = '', key = ''] = path.split('.');
    settings[section] = {...settings[section], [key]: value};
    this.text = stringify(settings);
  },
);

Given(
  'node settings with the text {string}',
  function (this: SettingsWorld, text: string) {
    this.text = text;
  },
);

When('the node settings are loaded', function (this: SettingsWorld) {
  this.loaded = loadSettings('node.toml', () => this.text);
});

Then(
  'loading the node settings fails with code {int} and mentions {string}',
  function (this: SettingsWorld, code: number, text: string) {
    assert.ok(this.loaded.isErr);
    assert.equal(this.loaded.error.code.code, code);
    assert.ok(
      this.loaded.error.message.includes(text),
      this.loaded.error.message,
    );
  },
);

Then(
  'the node settings match the snapshot {string}',
  function (this: SettingsWorld, name: string) {
    assert.ok(this.loaded.isOk);
    matchSnapshot(this.loaded.value, {owner: 'packages/node', name});
  },
);

Then(
  'the node settings error contains neither key',
  function (this: SettingsWorld) {
    assert.ok(this.loaded.isErr);
    assert.ok(!this.loaded.error.message.includes(token));
    assert.ok(!this.loaded.error.message.includes('"short"'));
  },
);
