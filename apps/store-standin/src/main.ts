/**
 * Command line of the store stand-in.
 *
 * @packageDocumentation
 */
import {cac} from 'cac';
import {startStoreStandin} from './store-standin.js';

const cli = cac('verbenabeam-store-standin');
cli.option('--host <ip>', 'Address to listen on', {default: '127.0.0.1'});
cli.option('--port <port>', 'Port; 0 takes a free one', {default: 2379});
cli.help();
const {options} = cli.parse();

if (!options['help']) {
  const standin = await startStoreStandin({
    host: String(options['host']),
    port: Number(options['port']),
  });
  process.stdout.write(`${JSON.stringify({url: standin.url})}\n`);
  const stop = () => void standin.close();
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
}
