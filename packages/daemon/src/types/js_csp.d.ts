/**
 * Type declarations of the functions of js-csp that the daemon uses.
 */
declare module 'js-csp' {
  export interface CspChannel {
    close(): void;
    isClosed(): boolean;
  }
  export const CLOSED: null;
  export function chan(capacity?: number): CspChannel;
  export function putAsync(
    channel: CspChannel,
    value: unknown,
    callback?: (accepted: boolean) => void,
  ): void;
  export function takeAsync(
    channel: CspChannel,
    callback: (value: unknown) => void,
  ): void;
  export function offer(channel: CspChannel, value: unknown): boolean;
}
