#!/bin/sh
# A node's program that ends itself at the first start of each node with a disk, at the first one by an exit code and else
# by a signal. After that it is the program that ENDING_NODE_PROGRAM names.
case "$MADDERDECK_BOOT" in
  */storage-*)
    if [ ! -e "$MADDERDECK_BOOT.ended" ]; then
      touch "$MADDERDECK_BOOT.ended"
      echo "madderdeckd: ends itself"
      case "$MADDERDECK_BOOT" in */storage-1.toml) exit 18 ;; esac
      kill -ABRT $$
    fi ;;
esac
exec "$ENDING_NODE_PROGRAM"
