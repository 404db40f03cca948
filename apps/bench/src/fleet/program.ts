import {spawn} from 'node:child_process';
import {once} from 'node:events';

const stopMs = 3_000;

/** A started program that printed one line of JSON. @internal */
export interface Program {
  readonly info: Readonly<Record<string, string>>;
  stop(): Promise<void>;
}

/** Starts a program of apps/ and reads its first line. @internal */
export async function startProgram(args: readonly string[]): Promise<Program> {
  const child = spawn(process.execPath, [...args], {
    stdio: ['ignore', 'pipe', 'inherit'],
  });
  // Stand-ins do not notice the end of the bench and would outlive it.
  process.once('exit', () => child.kill('SIGKILL'));
  const [line] = (await once(child.stdout, 'data')) as [Buffer];
  return {
    info: JSON.parse(String(line)) as Record<string, string>,
    stop: async () => {
      if (child.exitCode !== null) return;
      const exited = once(child, 'exit');
      child.kill('SIGTERM');
      const timer = setTimeout(() => child.kill('SIGKILL'), stopMs);
      await exited;
      clearTimeout(timer);
    },
  };
}
